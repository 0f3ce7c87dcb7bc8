// Answers of control planes, read into types. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/version.h"
#include "program/failure.h"
#include "program/http_exchange.h"

namespace dewweir::program {

struct MemberStatus {
    std::string node;
    std::string role;
    std::string zone;
    std::string region;
    bool ready = false;
    std::string internal;
    std::string front;
    std::string control;
};

struct ServiceStatus {
    std::string service;
    std::uint64_t ready = 0;
    std::uint64_t draining = 0;
};

// One member of the replicated log.
struct ReplicaStatus {
    std::string address;
    std::string part;                     // voter, learner, outgoing
    std::optional<std::uint64_t> behind;  // entries that its disk lacks; told by the leader alone
    std::optional<std::uint64_t> silent_ms;
};

// The body of GET /v1/status.
struct Status {
    std::string node;
    bool leads = false;
    std::uint64_t term = 0;
    std::string leader_control;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    std::string configuration;
    std::vector<std::string> evacuated_zones;
    std::vector<ServiceStatus> instances;
    std::vector<std::string> instance_zones;
    std::vector<MemberStatus> members;
    std::optional<std::uint64_t> staleness_ms;  // nothing: never in step with a majority
    std::string disk;                           // empty where an earlier version answers
    std::vector<ReplicaStatus> replicas;
};

struct AcceptedVersion {
    std::uint64_t position = 0;
    std::string version;
    std::string hash;
    bool in_force = false;
    std::optional<std::uint64_t> bytes;
};

// Nothing where the body cannot be read whole.
std::optional<Status> parse_status(const std::string& body);
std::optional<std::vector<AcceptedVersion>> parse_history(const std::string& body);

// The version of a configuration's body; nothing where it has none.
std::optional<configuration::Version> version_of(const std::string& body);

// What an answer other than 200 means; holds the reason and the advice that came with it.
Failure failure_of(const HttpResponse& response);

}  // namespace dewweir::program
