// Parses the JSON bodies of control planes' HTTP responses. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/version.h"
#include "program/failure.h"
#include "program/http_exchange.h"

namespace dewweir::program {

// A gateway or control plane, as the answering control plane knows it. Addresses are HOST:PORT texts, empty
// where the process offers no such interface.
struct MemberStatus {
    std::string node;  // name of its machine
    std::string role;  // "gateway" or "control-plane"
    std::string zone;
    std::string region;
    bool ready = false;
    std::string internal;  // address for other processes of the system
    std::string front;     // address for clients
    std::string control;   // address for hosts and the operator
};

// Number of hosts of one service, by state.
struct ServiceStatus {
    std::string service;
    std::uint64_t ready = 0;
    std::uint64_t draining = 0;
};

// A replica of the control planes' Raft log, as its leader sees it.
struct ReplicaStatus {
    std::string address;
    std::string part;                        // role in the Raft group: voter, learner or outgoing
    std::optional<std::uint64_t> behind;     // log entries not yet on its disk; only the leader reports it
    std::optional<std::uint64_t> silent_ms;  // time since its last message; likewise
};

// Body of GET /v1/status: the state of the whole system as the answering control plane knows it.
struct Status {
    std::string node;
    bool leads = false;  // whether this control plane is the Raft leader
    std::uint64_t term = 0;
    std::string leader_control;  // control address of the leader; empty if unknown
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    std::string configuration;  // version in force
    std::vector<std::string> evacuated_zones;
    std::vector<ServiceStatus> instances;
    std::vector<std::string> instance_zones;  // zones in which there are hosts
    std::vector<MemberStatus> members;
    // How long changes may already have been acknowledged that this control plane lacks; absent if it never
    // was in sync with a majority.
    std::optional<std::uint64_t> staleness_ms;
    std::string disk;  // state of its disk, like "takes writes"; empty from control planes of earlier builds
    std::vector<ReplicaStatus> replicas;
};

// A configuration that was accepted, from the body of GET /v1/history.
struct AcceptedVersion {
    std::uint64_t position = 0;  // ordinal among the accepted versions, 1 is the oldest
    std::string version;
    std::string hash;
    bool in_force = false;
    std::optional<std::uint64_t> bytes;  // size; reported only for the version in force
};

// Both return nothing if the body is not JSON, or if a required field is missing or has the wrong type.
std::optional<Status> parse_status(const std::string& body);
std::optional<std::vector<AcceptedVersion>> parse_history(const std::string& body);

// The version of the configuration in `body`; nothing if it has none.
std::optional<configuration::Version> parse_configuration_version(const std::string& body);

// The failure that a response other than 200 stands for, with the reason and advice of its body.
Failure failure_from_response(const HttpResponse& response);

}  // namespace dewweir::program
