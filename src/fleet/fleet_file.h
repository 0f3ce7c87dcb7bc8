// The fleet file: which gateways there are, what they run before and after a rolling change, its stages and
// limits. The schema is in fleet_file.cpp; reader, checker and docs are made from it.
#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "operator/schema.h"
#include "rollout/machine.h"

namespace dewweir::fleet {

struct Release {  // what a version is
    std::string program, operator_file;
};

struct Member {
    std::string name;
    asio::ip::tcp::endpoint address;   // where it listens
    asio::ip::tcp::endpoint asked_at;  // where the controller asks whether it is ready
    std::string configuration[2];      // of the old, of the new
};

struct Fleet {
    std::string file, name, folder;
    Release releases[2];                         // old, new
    std::vector<std::string> start, end, check;  // command lines; empty: built in, or none
    std::vector<Member> members;
    rollout::MachineTerms machine;
    rollout::JudgeTerms judge;
    Time settle = 0;
    double memory_mb = 0;  // 0: no limit

    std::string in_folder(const std::string& name) const { return folder + "/" + name; }
    std::string identity(std::size_t n) const { return in_folder(members[n].name + ".identity"); }
    std::string log(std::size_t n) const { return in_folder(members[n].name + ".log"); }
};

const Schema& fleet_schema();
// Throws errors::BadFile with all that is wrong in it, in the files it names, and between them: what cannot
// be run side by side is refused there, with the reason.
Fleet read_fleet(const std::string& file);
// What a release has a gateway run: the digest that it tells of itself.
std::string settings_digest(const Fleet& fleet, std::size_t member, bool fresh);

}  // namespace dewweir::fleet
