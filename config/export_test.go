package config

// HeadWrites is headWrites for tests that put a version into the table.
var HeadWrites = headWrites
