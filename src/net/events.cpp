#include "events.h"

#include <iterator>

namespace dewweir::net {
namespace {

constexpr EventKind kinds[] = {
    {"gateway.ready", Level::info, "name, label, version, settings: text",
     "it listens and has its known list; the others with an operator file, the label with a rollout"},
    {"gateway.ended", Level::info, "name: text", "it has ended clean"},
    {"gateway.stopping", Level::info, "", "SIGTERM or SIGINT came"},
    {"configuration.read", Level::info, "", "SIGHUP came; discovery and counter are the file's from now on"},
    {"configuration.restart", Level::warning, "key: text",
     "the file has another value there, which needs a restart"},
    {"configuration.bad", Level::error, "why: text", "the file read at SIGHUP is bad; the old one holds"},
    {"host.named", Level::info, "host: number, id: text", "the gateway's own number for a host of the list"},
    {"host.shut", Level::info, "host: number",
     "failures in a row: no work for it but a trial piece now and then"},
    {"host.back", Level::info, "host: number", "it has delivered its trial piece"},
    {"host.no_connection", Level::warning, "id: text",
     "an execution could not be sent: drained, or no descriptor"},
    {"clients.not_accepted", Level::warning, "why: text", "the system gives no further connection"},
    {"client.refused", Level::debug, "status: number, why: text", "a message got a 4xx"},
    {"counter.lost", Level::warning, "why: text", "its connection was given up; it is opened again"},
    {"breaker.open", Level::info, "", "three calls in a row failed: shares decide"},
    {"breaker.closed", Level::info, "", "the counter answers again"},
    {"discovery.asked", Level::info, "", "a watch was asked for"},
    {"discovery.told", Level::info, "revision: number, entries: number", "news, or the whole list, came"},
    {"discovery.older", Level::warning, "revision: number", "a list older than the one held, left out"},
    {"discovery.lost", Level::warning, "why: text", "the watch was given up; a new one is begun"},
    {"decided", Level::info, "", "how the submissions since the last such line were decided"},
    {"counts", Level::info,
     "end_ms, every_ms, tries, in_goal, late, bounced, over_quota, long_line, written_off, gone, sent_on, "
     "executions, "
     "calls, "
     "units_asked, units_in, units_counted, memory_kb: numbers; times: list",
     "what was done in the stretch that ended then; units in thousandths, times as bucket and count in turn"},
    {"members.state", Level::info, "name, address, state, by: text",
     "another gateway is alive, suspect, dead or has left, by what this one believes; by: who suspects it"},
    {"members.count", Level::info, "present, count: numbers", "so many gateways count from now on"},
    {"members.cut_off", Level::warning, "present, count: numbers",
     "under half of those known a moment ago are seen; the count stays as it was"},
    {"members.healed", Level::info, "present, count: numbers", "they are seen again"},
    {"members.replaced", Level::error, "address: text",
     "a later process has this one's name; this one tells the others no more"},
    {"members.refused", Level::warning,
     "torn, other_deployment, unknown_version, replayed, strangers: numbers",
     "datagrams that were dropped since the last such line, by why"},
    {"members.status", Level::warning, "file: text",
     "the status file cannot be written, or its disk has held the last one up for a second: it is old"},
    {"rollout.phase", Level::info, "phase: text, stage: number, held: number, why: text",
     "the controller of a rolling change has come so far; why: of going back"},
    {"rollout.act", Level::info, "gateway, act, version: text", "it ends, kills or starts a gateway"},
    {"rollout.fault", Level::error, "gateway, why: text", "something it needs was refused; it tries again"},
    {"log.repeated", Level::info, "times: number", "the line before came so many times more"},
    {"log.left_out", Level::warning, "lines: number",
     "so many lines were not written: too many, or no reader"},
};
static_assert(std::size(kinds) == static_cast<std::size_t>(Event::count));

}  // namespace

const EventKind& kind_of(Event event) { return kinds[static_cast<std::size_t>(event)]; }

const char* name_of(Level level) {
    static const char* const names[] = {"error", "warning", "info", "debug"};
    return names[static_cast<int>(level)];
}

std::string events_table() {
    std::string table = "| event | level | fields | meaning |\n| --- | --- | --- | --- |\n";
    for (const EventKind& kind : kinds)
        table += std::string("| `") + kind.name + "` | " + name_of(kind.level) + " | " + kind.fields + " | " +
                 kind.meaning + " |\n";
    return table;
}

}  // namespace dewweir::net
