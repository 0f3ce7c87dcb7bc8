#include "counts_reader.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace dewweir::fleet {
namespace {

constexpr double thousandth = 0.001;
constexpr Time a_second = 10000;

}  // namespace

std::vector<CountsReader::Counted> CountsReader::read(Time now) {
    for (std::size_t n = 0; n < fleet_.members.size(); ++n) {
        std::ifstream in(fleet_.log(n), std::ios::binary);
        if (!in) continue;
        in.seekg(from_[n]);
        for (std::string text; std::getline(in, text);) {
            if (in.eof()) break;  // is being written: read once it is whole
            from_[n] += static_cast<long>(text.size()) + 1;
            line(n, text);
        }
    }
    std::vector<Counted> all;
    while (!open_.empty()) {
        Counted& first = open_.begin()->second;
        if (now < first.to + (first.to - first.from) / 2 + 5000) break;
        told_ = open_.begin()->first;
        all.push_back(std::move(first));
        open_.erase(open_.begin());
    }
    return all;
}

void CountsReader::line(std::size_t member, const std::string& text) {
    const auto told = nlohmann::json::parse(text, nullptr, false);
    if (!told.is_object()) return;  // of a program that ends before it logs
    const auto named = told.find("event");
    if (named == told.end() || !named->is_string()) return;
    const std::string event = named->get<std::string>();
    if (event == "gateway.ready") fresh_[member] = told.value("label", "") == "new";
    if (event != "counts") return;
    const auto of = [&](const char* name) {
        const auto found = told.find(name);
        return found != told.end() && found->is_number() ? found->get<double>() : 0.0;
    };
    const auto every = static_cast<std::int64_t>(of("every_ms")),
               end = static_cast<std::int64_t>(of("end_ms"));
    if (every <= 0 || end <= 0) return;
    silent_from_[member] = 10 * (end + 2 * every) + a_second;
    // The event comes a moment after the end of its stretch.
    const std::int64_t index = end / every;
    if (index <= told_) return;
    rollout::Counts c;
    c.tries = of("tries"), c.in_goal = of("in_goal"), c.late = of("late"), c.bounced = of("bounced");
    c.written_off = of("written_off"), c.gone = of("gone"), c.over_quota = of("over_quota"),
    c.sent_on = of("sent_on"), c.executions = of("executions"), c.calls = of("calls");
    c.units_asked = of("units_asked") * thousandth, c.units_in = of("units_in") * thousandth;
    c.units_counted = (of("units_counted") - of("units_in")) * thousandth, c.memory_kb = of("memory_kb");
    if (const auto times = told.find("times"); times != told.end() && times->is_array())
        for (std::size_t n = 0; n + 1 < times->size(); n += 2)
            if ((*times)[n].is_number() && (*times)[n + 1].is_number())
                c.times[(*times)[n].get<int>()] = (*times)[n + 1].get<double>();
    memory_[member] = c.memory_kb / 1024;
    Counted& counted = open_[index];
    counted.from = (index - 1) * every * 10, counted.to = index * every * 10;
    counted.window.index = index;
    counted.window.by_gateway[member] = {std::move(c), fresh_[member]};
}

}  // namespace dewweir::fleet
