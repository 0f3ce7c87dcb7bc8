// What an operator file can set, with what holds without one. The gateway knows this and no more of the file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dewweir {

// The other gateways; times in tenths of a millisecond.
struct MembersFile {
    std::string listen;  // empty: nothing is told, nothing is heard
    std::string deployment, status;
    std::vector<std::string> seeds, from, reach;
    std::int64_t period = 10000, gossip = 2000;
    bool verdicts = true;  // what is found of hosts is told and heard
    bool rights = true;    // with verdicts: parts of quotas move while the counter cannot be asked
};

struct OperatorFile {
    std::string log_level = "info";
    std::string log_format = "text";
    int log_lines = 100;            // a second
    std::int64_t counts_every = 0;  // tenths of a millisecond; 0: no counts
    MembersFile members;
};

}  // namespace dewweir
