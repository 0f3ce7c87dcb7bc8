#include "host.h"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

#include "errors/errors.h"

namespace dewweir::model {
namespace {

void must(bool holds, const char* trait) {
    if (!holds) throw errors::BadCall(std::string("host: ") + trait, "is out of range");
}

}  // namespace

Host::Host(const HostTraits& traits, std::uint64_t seed)
    : traits_(traits), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
    must(traits.cores >= 1, "cores");
    must(traits.speed > 0, "speed");
    must(traits.work >= 0, "work");
    must(traits.scatter >= 0, "scatter");
    must(traits.cold_from > 0 && traits.cold_from <= 1, "cold_from");
    must(traits.warms_in >= 0 && traits.fall > 0, "warms_in or fall");
    must(traits.fall_multiple > 0, "fall_multiple");
}

void Host::start(Time now, bool cold) {
    die();
    up_ = true;
    fallen_ = false;
    started_ = cold ? now : now - traits_.warms_in;
}

void Host::die() {
    up_ = false;
    muted_ = 0;
    owed_ = 0;
    waiting_.clear();
    running_.clear();
    sent_.clear();
}

double Host::warmth(Time now) const {
    if (traits_.warms_in <= 0 || now - started_ >= traits_.warms_in) return 1;
    const double age = static_cast<double>(now - started_) / static_cast<double>(traits_.warms_in);
    return traits_.cold_from + (1 - traits_.cold_from) * age;
}

bool Host::take(Time now, std::uint64_t piece) {
    if (!up_) return false;
    // What is turned away weighs too: it reached the host.
    if (const double warm = warmth(now); warm < 1 && traits_.work > 0) {
        sent_.push_back(now);
        while (now - sent_.front() >= traits_.fall) sent_.pop_front();
        const double can = traits_.cores * traits_.speed * warm / static_cast<double>(traits_.work);
        const double most = traits_.fall_multiple * can * static_cast<double>(traits_.fall);
        // Three swings of chance on top, so that a fleet that keeps to the multiple is not blamed.
        if (static_cast<double>(sent_.size()) > most + 3 * std::sqrt(most)) {
            die();
            fallen_ = true;
            return false;
        }
    }
    if (running_.size() >= static_cast<std::size_t>(traits_.cores) && waiting_.size() >= traits_.line)
        return false;
    boost::random::uniform_01<> any;
    double work = static_cast<double>(traits_.work);
    if (work > 0 && traits_.scatter > 0) {
        // boost's distributions give the same on every machine.
        const double spread = std::log(1 + traits_.scatter * traits_.scatter);
        work =
            boost::random::lognormal_distribution<>(std::log(work) - spread / 2, std::sqrt(spread))(chance_);
    }
    const double fate = any(chance_);
    Reply reply = Reply::delivered;
    if (fate < troubles_.mute) reply = Reply::none;
    else if (fate < troubles_.mute + troubles_.errors) reply = Reply::error;
    else if (fate < troubles_.mute + troubles_.errors + troubles_.spoilt) reply = Reply::spoilt;
    waiting_.push_back({piece, work, reply});
    fill(now);
    return true;
}

void Host::connected(Time) { owed_ += static_cast<double>(traits_.handshake); }

void Host::begin(Time now, const Piece& piece) {
    if (piece.reply == Reply::none) {  // taken and never answered; it holds no core
        ++muted_;
        return;
    }
    const double work = (piece.work + std::exchange(owed_, 0)) * troubles_.slow;
    const double takes = work / (traits_.speed * warmth(now));
    running_.emplace(std::pair(now + std::llround(takes), ++last_), piece);
}

void Host::fill(Time now) {
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(traits_.cores)) {
        const Piece next = waiting_.front();
        waiting_.pop_front();
        begin(now, next);
    }
}

Time Host::due() const { return running_.empty() ? -1 : running_.begin()->first.first; }

std::vector<Finished> Host::ended(Time now) {
    std::vector<Finished> all;
    while (!running_.empty() && running_.begin()->first.first <= now) {
        const auto [at, piece] = *running_.begin();
        running_.erase(running_.begin());
        all.push_back({piece.number, piece.reply});
        fill(at.first);  // the next began when this one ended, however late we were asked
    }
    return all;
}

}  // namespace dewweir::model
