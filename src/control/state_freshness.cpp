#include "control/state_freshness.h"

#include <algorithm>

namespace dewweir::control {
namespace {

// Older ones that were not answered never will be.
constexpr std::size_t most_questions = 32;

}  // namespace

void StateFreshness::asked(std::uint64_t token, FreshnessTime now) {
    questions_.push_back({token, now});
    if (questions_.size() > most_questions) questions_.pop_front();
}

void StateFreshness::answered(std::uint64_t token, std::uint64_t index) {
    for (Question& question : questions_) {
        if (question.token == token) question.index = index;
    }
    settle();
}

void StateFreshness::applied(std::uint64_t index) {
    applied_ = index;
    settle();
}

// The newest answered question whose index is applied proves the most; earlier ones prove nothing more.
void StateFreshness::settle() {
    const auto proves = [this](const Question& question) {
        return question.index && *question.index <= applied_;
    };
    const auto newest = std::find_if(questions_.rbegin(), questions_.rend(), proves);
    if (newest == questions_.rend()) return;
    in_step_at_ = std::max(in_step_at_.value_or(newest->asked_at), newest->asked_at);
    questions_.erase(questions_.begin(), newest.base());
}

}  // namespace dewweir::control
