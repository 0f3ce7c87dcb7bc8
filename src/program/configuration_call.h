// Reads the configurations that commands work with: one from a file, validated, and the one in force at the
// control planes.
#pragma once

#include <string>
#include <variant>

#include "configuration/configuration.h"
#include "program/control_client.h"

namespace dewweir::program {

constexpr const char* configuration_target = "/v1/config";

// A valid configuration file.
struct CheckedFile {
    std::string text;
    configuration::Configuration configuration;
};

// The configuration in force at the control planes.
struct ConfigurationInForce {
    configuration::Version version;  // 0: no configuration is in force yet
    std::string text;
};

// Reads a file and validates it like the control planes do, except that its epoch is not compared with the
// version in force.
std::variant<CheckedFile, Failure> read_configuration_file(const std::string& path);

// Fetches the configuration in force.
std::variant<ConfigurationInForce, Failure> read_in_force(ControlClient& client);

}  // namespace dewweir::program
