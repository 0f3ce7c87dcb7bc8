// The configuration as commands need it: in a file, checked, and in force at the control planes.
#pragma once

#include <string>
#include <variant>

#include "configuration/configuration.h"
#include "program/control_client.h"

namespace dewweir::program {

constexpr const char* configuration_target = "/v1/config";

struct CheckedFile {
    std::string text;
    configuration::Configuration configuration;
};

struct InForce {
    configuration::Version version;  // 0: none is in force
    std::string text;
};

// Reads and checks a file as the control planes would, save that its epoch has to be greater.
std::variant<CheckedFile, Failure> read_configuration_file(const std::string& path);

std::variant<InForce, Failure> read_in_force(ControlClient& client);

}  // namespace dewweir::program
