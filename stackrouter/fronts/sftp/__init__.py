"""The SFTP front: file commands of SFTP version 3 over plain TCP, without SSH."""
