"""The operator's settings file in protobuf text format: schema, validation, and setup of optional parts."""
