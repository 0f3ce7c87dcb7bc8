// The differences that `dewweir config diff` finds. API keys must never appear in them.
#include "program/configuration_diff.h"

#include <catch2/catch.hpp>

namespace dewweir::program {
namespace {

using Differences = std::vector<Difference>;

constexpr const char* before = R"({"epoch":"00000003","routes":[
    {"name":"read","deadline":"3s","weighted_backends":[{"backend":"a","weight":1},{"backend":"b","weight":2}]},
    {"name":"gone","deadline":"3s"}],
    "tenants":[{"name":"acme","api_keys":["secret-one"]}]})";

Differences differences_to(const std::string& after) {
    const auto differences = compare_configurations(before, after);
    REQUIRE(differences);
    return *differences;
}

TEST_CASE("named elements are matched regardless of their order") {
    CHECK(differences_to(before).empty());
    CHECK(differences_to(R"({"tenants":[{"api_keys":["secret-one"],"name":"acme"}],"routes":[
        {"name":"gone","deadline":"3s"},
        {"name":"read","weighted_backends":[{"backend":"b","weight":2},{"weight":1,"backend":"a"}],"deadline":"3s"}],
        "epoch":"00000003"})")
              .empty());
}

TEST_CASE("additions, removals and changes are reported with their paths") {
    const Differences differences = differences_to(R"({"epoch":"00000004","routes":[
        {"name":"read","deadline":"3s","weighted_backends":[{"backend":"a","weight":1},{"backend":"b","weight":5}]},
        {"name":"new","deadline":"1s"}],
        "tenants":[{"name":"acme","api_keys":["secret-one","secret-two"]}]})");
    CHECK(differences == Differences{
                             {DifferenceKind::changed, "epoch", "\"00000003\"", "\"00000004\""},
                             {DifferenceKind::removed, "routes/gone", "", ""},
                             {DifferenceKind::changed, "routes/read/weighted_backends/b/weight", "2", "5"},
                             {DifferenceKind::added, "routes/new", "", ""},
                             {DifferenceKind::changed, "tenants/acme/api_keys", "1 keys", "2 keys"},
                         });
}

TEST_CASE("API keys are not shown, whatever the structure of the configurations") {
    const std::vector<std::string> others = {
        R"({})",
        R"({"tenants":null})",
        R"({"tenants":{}})",
        R"({"tenants":[{"api_keys":["secret-two"]}]})",
        R"({"tenants":[{"name":"acme","api_keys":["secret-two"]},{"name":"acme","api_keys":["secret-two"]}]})",
        R"({"tenants":[{"name":"acme","api_keys":"secret-two"}]})",
        R"({"tenants":[{"name":"acme","api_keys":[{"name":"secret-two"}]}]})",
        R"({"tenants":[{"name":"other","api_keys":["secret-two"]}]})",
        R"({"tenants":[["secret-two"]]})",
    };
    for (const std::string& other : others) {
        Differences all = differences_to(other);
        const auto reversed = compare_configurations(other, before);
        REQUIRE(reversed);
        all.insert(all.end(), reversed->begin(), reversed->end());
        CHECK_FALSE(all.empty());
        for (const Difference& difference : all) {
            const std::string shown = difference.path + difference.before + difference.after;
            CHECK(shown.find("secret") == std::string::npos);
        }
    }
}

TEST_CASE("a text that is not JSON is not compared") { CHECK_FALSE(compare_configurations("{", before)); }

}  // namespace
}  // namespace dewweir::program
