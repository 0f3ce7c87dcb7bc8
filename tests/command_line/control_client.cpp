// The order of tries at the control planes, over a network and a clock that are scripted.
#include "program/control_client.h"

#include <catch2/catch.hpp>
#include <map>

namespace dewweir::program {
namespace {

using std::chrono::milliseconds;

// Each address answers its script's results in turn; the last one stays.
class ScriptedTransport : public Transport {
  public:
    std::map<std::string, std::vector<ExchangeResult>> scripts;
    std::vector<std::string> asked;
    std::vector<HttpRequest> requests;
    milliseconds passed{0};

    ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                            milliseconds silence) override {
        asked.push_back(to_string(address));
        requests.push_back(request);
        std::vector<ExchangeResult>& script = scripts.at(to_string(address));
        const ExchangeResult result = script.front();
        if (script.size() > 1) script.erase(script.begin());
        const auto* const fault = std::get_if<ExchangeFault>(&result);
        if (fault && *fault == ExchangeFault::silent) passed += silence;
        return result;
    }
    Clock::time_point now() override { return Clock::time_point() + passed; }
    void pause(milliseconds duration) override { passed += duration; }
};

const ControlAddress first{"10.0.0.1", "80"};
const ControlAddress second{"10.0.0.2", "80"};
const HttpRequest put{"PUT", "/v1/config", "00000005", "{}"};

HttpResponse answer(int status) { return {status}; }
HttpResponse redirect(const ControlAddress& to) { return {307, "http://" + to_string(to) + "/v1/config"}; }

Failure failure_of_call(ScriptedTransport& transport, const HttpRequest& request) {
    const CallResult result = ControlClient(transport, {first, second}, milliseconds(8000)).call(request);
    REQUIRE(std::holds_alternative<Failure>(result));
    return std::get<Failure>(result);
}

int status_of_call(ScriptedTransport& transport) {
    const CallResult result = ControlClient(transport, {first, second}, milliseconds(8000)).call(put);
    INFO((std::holds_alternative<Failure>(result) ? std::get<Failure>(result).reason : std::string()));
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    return std::get<HttpResponse>(result).status;
}

TEST_CASE("a clear answer ends the call at once, be it a refusal") {
    for (const int status : {200, 400, 404, 412, 413, 422}) {
        ScriptedTransport transport;
        transport.scripts["10.0.0.1:80"] = {answer(status)};
        CHECK(status_of_call(transport) == status);
        CHECK(transport.asked.size() == 1);
    }
}

TEST_CASE("after silence, a broken connection, 5xx, 408 and 429 the next one gets the call unchanged") {
    const std::vector<ExchangeResult> unsettled = {ExchangeFault::not_connected,
                                                   ExchangeFault::unknown_host,
                                                   ExchangeFault::silent,
                                                   ExchangeFault::broken,
                                                   answer(503),
                                                   answer(500),
                                                   answer(408),
                                                   answer(429)};
    for (const ExchangeResult& result : unsettled) {
        ScriptedTransport transport;
        transport.scripts["10.0.0.1:80"] = {result};
        transport.scripts["10.0.0.2:80"] = {answer(200)};
        CHECK(status_of_call(transport) == 200);
        CHECK(transport.asked == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"});
        CHECK(transport.requests[1].if_match == put.if_match);
        CHECK(transport.requests[1].body == put.body);
        CHECK(transport.passed <= milliseconds(1100));
    }
}

TEST_CASE("two redirects are followed, a third one is not") {
    ScriptedTransport transport;
    transport.scripts["10.0.0.1:80"] = {redirect(second), answer(200)};
    transport.scripts["10.0.0.2:80"] = {redirect(first)};
    CHECK(status_of_call(transport) == 200);
    CHECK(transport.asked.size() == 3);

    ScriptedTransport loop;
    loop.scripts["10.0.0.1:80"] = {redirect(first), redirect(first), redirect(first), answer(500)};
    loop.scripts["10.0.0.2:80"] = {answer(200)};
    CHECK(status_of_call(loop) == 200);
    CHECK(loop.asked.size() == 4);
}

TEST_CASE("a call ends at its time-out, and says whether an order may have been taken") {
    ScriptedTransport refused;
    refused.scripts["10.0.0.1:80"] = {ExchangeFault::not_connected};
    refused.scripts["10.0.0.2:80"] = {ExchangeFault::not_connected};
    CHECK(failure_of_call(refused, put).code == ExitCode::unreachable);
    CHECK(refused.passed == milliseconds(8000));
    CHECK(refused.asked.size() < 20);

    // One try that may have arrived is enough, whatever came later.
    ScriptedTransport lost;
    lost.scripts["10.0.0.1:80"] = {ExchangeFault::silent, ExchangeFault::not_connected};
    lost.scripts["10.0.0.2:80"] = {ExchangeFault::not_connected};
    CHECK(failure_of_call(lost, put).code == ExitCode::unclear);

    ScriptedTransport unled;
    unled.scripts["10.0.0.1:80"] = {answer(503)};
    unled.scripts["10.0.0.2:80"] = {ExchangeFault::silent};
    CHECK(failure_of_call(unled, put).code == ExitCode::unclear);
    CHECK(unled.passed <= milliseconds(9000));
    ScriptedTransport stale;
    stale.scripts["10.0.0.1:80"] = {redirect({"10.0.0.3", "80"})};
    stale.scripts["10.0.0.2:80"] = {ExchangeFault::not_connected};
    stale.scripts["10.0.0.3:80"] = {ExchangeFault::not_connected};
    CHECK(failure_of_call(stale, put).reason ==
          "no clear answer in 8000 ms: 10.0.0.1:80 (sent on to 10.0.0.3:80: no connection) 10.0.0.2:80 (no "
          "connection)");
    unled.passed = milliseconds(0);
    CHECK(failure_of_call(unled, {"GET", "/v1/config"}).code == ExitCode::unreachable);
}

}  // namespace
}  // namespace dewweir::program
