// All links of a rig by their names, and what a script does to them. Owns them. What befell each is counted
// and told with the result.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "datagram_link.h"
#include "link.h"

namespace dewweir::rig {

class Links {
  public:
    // `seed`: of jitter and loss; each link draws its own, by its name.
    Links(Loop& loop, std::uint64_t seed) : loop_(loop), seed_(seed) {}

    // `from > to`, carried on to `at`.
    Link& add(const std::string& from, const std::string& to, const tcp::endpoint& at);
    DatagramLink& add_datagrams(const std::string& from, const std::string& to);
    bool has(const std::string& name) const { return links_.contains(name) || datagrams_.contains(name); }
    bool empty() const { return links_.empty() && datagrams_.empty(); }
    const Link& link(const std::string& name) const { return *links_.at(name); }
    // Whether every link that ends at `to` passes what it is given.
    bool all_pass_to(const std::string& to) const;

    void begin(const std::string& name, const Trouble& trouble) { play(name, trouble, true); }
    void end(const std::string& name, const Trouble& trouble) { play(name, trouble, false); }

    // By name, those that carried or stopped anything.
    nlohmann::json report() const;

  private:
    void play(const std::string& name, const Trouble& trouble, bool on);
    std::uint64_t seed_of(const std::string& name) const;

    Loop& loop_;
    std::uint64_t seed_;
    std::map<std::string, std::unique_ptr<Link>> links_;
    std::map<std::string, std::unique_ptr<DatagramLink>> datagrams_;
};

}  // namespace dewweir::rig
