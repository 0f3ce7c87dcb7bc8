#include "chart.h"

#include <sys/wait.h>

#include <csignal>
#include <cstdio>

namespace dewweir::rig {
namespace {

// In gnuplot's single quotes.
std::string quoted(const std::string& text) {
    std::string all = "'";
    for (const char c : text) all += c == '\'' ? std::string("''") : std::string(1, c);
    return all + "'";
}

}  // namespace

std::string draw_trial(const Load& load, const std::vector<std::pair<double, std::string>>& events,
                       const std::string& file) {
    std::string script = "set terminal svg size 960,480 background rgb 'white'\nset output " + quoted(file) +
                         "\nset xlabel 'seconds'\nset ylabel 'submissions a second'\nset yrange [0:*]\n"
                         "set key outside top center horizontal\nset grid ytics\n";
    std::uint64_t highest = 1;
    for (const Load::Second& one : load.seconds()) highest = std::max(highest, one.asked);
    int n = 0;
    for (const auto& [at, what] : events) {
        const std::string x = std::to_string(at);
        script += "set arrow from " + x + ", graph 0 to " + x +
                  ", graph 1 nohead dashtype 2 linecolor rgb 'grey'\n";
        script += "set label " + quoted(what) + " at " + x + ", graph " +
                  std::to_string(0.97 - 0.05 * (n++ % 5)) + " offset 0.3,0 font ',9' noenhanced\n";
    }
    std::string rows;
    for (std::size_t second = 0; second < load.seconds().size(); ++second) {
        const Load::Second& one = load.seconds()[second];
        rows += std::to_string(second) + " " + std::to_string(one.asked) + " " + std::to_string(one.in_goal) +
                " " + std::to_string(one.bounced) + "\n";
    }
    script +=
        "$rows << END\n" + rows +
        "END\nplot $rows using 1:2 with lines linewidth 2 title 'asked', '' using 1:3 with lines linewidth 2 "
        "title 'delivered within the goal', '' using 1:4 with lines linewidth 2 title 'bounced'\n";
    std::signal(SIGPIPE, SIG_IGN);
    FILE* const pipe = ::popen("gnuplot - 2>/dev/null", "w");
    if (!pipe) return "no chart: no further process can be started";
    std::fwrite(script.data(), 1, script.size(), pipe);
    const int status = ::pclose(pipe);
    if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return "chart: " + file;
    if (WIFEXITED(status) && WEXITSTATUS(status) == 127)
        return "no chart: gnuplot is not installed (apt-get install gnuplot-nox)";
    return "no chart: gnuplot could not write " + file;
}

}  // namespace dewweir::rig
