#include "cli/apply_command.h"
#include "cli/check_command.h"
#include "cli/config_store.h"
#include "cli/explain_config_command.h"
#include "cli/history_command.h"
#include "cli/plan_command.h"
#include "cli/standin_store_command.h"
#include "cli/zone_command.h"
#include "coordination/key_value_store.h"
#include "standins/store_standin.h"
#include "transport/etcd_store.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using nlohmann::json;
using testing::HasSubstr;
using testing::Not;

using word_list = std::vector<std::string>;

struct command_result {
    int code = -1;
    std::string out;
    std::string err;
};

command_result run(command_function function, const word_list& args) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = function(args, {out, err});
    return {code, out.str(), err.str()};
}

etcd_store_settings settings_for(const std::string& url) {
    etcd_store_settings settings;
    settings.endpoints = {url};
    return settings;
}

class config_commands_test : public testing::Test {
protected:
    config_commands_test() { write(560, json::array()); }
    ~config_commands_test() override { std::filesystem::remove_all(directory_); }

    void write(int max_tasks, const json& exceptions) const {
        const json fleet = {{"defaults", {{"service", {{"max_tasks", max_tasks}}}}},
                            {"zones", {"Recife", "Natal", "João Pessoa"}},
                            {"services", {{{"name", "form"}}}},
                            {"teams", {"claims"}}};
        std::ofstream{directory_ / "fleet.json"} << fleet.dump(2);
        std::ofstream{directory_ / "exceptions.json"} << exceptions.dump(2);
    }

    word_list with_store(word_list args) const {
        args.insert(args.end(), {"--store", standin_.url(), "--cell", "sertao", "--store-timeout-ms", "300"});
        return args;
    }

    word_list changing(word_list args) const {
        args.insert(args.end(), {"--reason", "tax season", "--author", "livia"});
        return with_store(std::move(args));
    }

    command_result apply(word_list extra = {}) const {
        extra.insert(extra.begin(), directory_.string());
        return run(run_apply, changing(std::move(extra)));
    }

    command_result zone(const char* direction, const char* name) const {
        return run(run_zone, changing({direction, name}));
    }

    fleet_document stored() { return std::get<loaded_config>(load_newest_config(store_, "sertao")).document; }

    static json exception(json scope, const char* setting, json value) {
        return {{"scope", std::move(scope)},
                {"setting", setting},
                {"value", std::move(value)},
                {"author", "joana"},
                {"reason", "audit week"}};
    }

    system_clock_source clock_;
    store_standin standin_{{}, clock_};
    etcd_store store_{settings_for(standin_.url()), clock_, 1};
    std::filesystem::path directory_ = [] {
        std::string name = std::filesystem::temp_directory_path() / "config_commands_XXXXXX";
        return std::filesystem::path{mkdtemp(name.data())};
    }();
};

// Guards against a check that stops at the first finding or exits with success.
TEST_F(config_commands_test, check_reports_everything) {
    EXPECT_EQ(run(run_check, {directory_.string()}).code, exit_done);
    json bad = exception({{"zone", "Recif"}}, "in_service", false);
    bad.erase("reason");
    write(561, json::array({bad}));
    const auto result = run(run_check, {directory_.string()});
    EXPECT_EQ(result.code, exit_findings);
    EXPECT_THAT(result.out, HasSubstr("fleet.json#/defaults/service/max_tasks: out_of_range"));
    EXPECT_THAT(result.out, HasSubstr("exceptions.json#/0/reason: missing_reason"));
    const auto as_json = run(run_check, {directory_.string(), "--json"});
    EXPECT_EQ(json::parse(as_json.out)["findings"].size(), 2U);
    const auto absent = run(run_check, {directory_ / "absent"});
    EXPECT_EQ(absent.code, exit_findings);
    EXPECT_THAT(absent.out, HasSubstr("exceptions.json#: unreadable"));
}

// Guards against exit codes that scripts cannot rely on.
TEST_F(config_commands_test, usage_errors_and_help) {
    for (const command_function function :
         {run_check, run_plan, run_apply, run_history, run_explain_config, run_zone, run_standin_store}) {
        EXPECT_EQ(run(function, {"--help"}).code, exit_done);
        EXPECT_EQ(run(function, {"--no-such-option"}).code, exit_usage);
    }
    EXPECT_EQ(run(run_apply, with_store({directory_.string(), "--reason", " ", "--author", "a"})).code,
              exit_usage);
    EXPECT_EQ(run(run_apply, changing({})).code, exit_usage);
    EXPECT_EQ(run(run_zone, changing({"sideways", "Natal"})).code, exit_usage);
    EXPECT_EQ(run(run_explain_config, with_store({"service", "form", "no_such_setting"})).code, exit_usage);
}

// Guards against a plan that differs from what apply does.
TEST_F(config_commands_test, plan_then_apply) {
    const auto plan = run(run_plan, with_store({directory_.string(), "--json"}));
    ASSERT_EQ(plan.code, exit_done) << plan.err;
    EXPECT_EQ(json::parse(plan.out)["planned_revision"], 1);
    EXPECT_EQ(json::parse(plan.out)["affected"]["zones"].size(), 3U);
    const auto applied = apply({"--expect", "0", "--json"});
    ASSERT_EQ(applied.code, exit_done) << applied.err;
    EXPECT_EQ(json::parse(applied.out)["changes"], json::parse(plan.out)["changes"]);
    EXPECT_THAT(apply().out, HasSubstr("nothing to change: revision 1"));
    write(200, json::array());
    EXPECT_THAT(run(run_plan, with_store({directory_.string()})).out,
                HasSubstr("~ defaults/service/max_tasks 560 -> 200"));
    EXPECT_EQ(stored().revision, 1U);
}

// Guards against two operators who both believe that their change is in force.
TEST_F(config_commands_test, of_two_racing_operators_exactly_one_wins) {
    ASSERT_EQ(apply().code, exit_done);
    for (config_revision revision = 1; revision <= 10; ++revision) {
        write(100 + static_cast<int>(revision), json::array());
        // Both read before either writes, because both are tied to the same revision.
        const word_list args = {"--expect", std::to_string(revision)};
        auto first = std::async(std::launch::async, [&] { return apply(args); });
        auto second = std::async(std::launch::async, [&] { return apply(args); });
        const std::vector<command_result> results = {first.get(), second.get()};
        const bool first_won = results[0].code == exit_done;
        const command_result& loser = results[first_won ? 1 : 0];
        EXPECT_EQ(results[first_won ? 0 : 1].code, exit_done);
        EXPECT_EQ(loser.code, exit_findings);
        EXPECT_THAT(loser.out, HasSubstr("your changes:\n  ~ defaults/service/max_tasks"));
        EXPECT_THAT(loser.out, HasSubstr("changes since:\nrevision " + std::to_string(revision + 1)));
        EXPECT_EQ(stored().revision, revision + 1);
    }
}

// Guards against an applied change that is reported as failed, or applied twice.
TEST_F(config_commands_test, a_lost_answer_is_recognised) {
    ASSERT_EQ(apply().code, exit_done);
    write(200, json::array());
    standin_.set_faults({.lose_answers = 1});
    const auto result = apply();
    EXPECT_EQ(result.code, exit_done) << result.out << result.err;
    EXPECT_THAT(result.out, HasSubstr("applied as revision 2"));
    EXPECT_EQ(stored().revision, 2U);
    EXPECT_EQ(stored().history.size(), 2U);
}

// Guards against an outdated read that brings back an old revision or hides that a zone is in service.
TEST_F(config_commands_test, revisions_grow_under_stale_reads) {
    ASSERT_EQ(apply().code, exit_done);
    ASSERT_EQ(zone("out", "Natal").code, exit_done);
    ASSERT_EQ(zone("in", "Natal").code, exit_done);
    standin_.set_faults({.stale_reads = 100});
    EXPECT_THAT(run(run_plan, with_store({directory_.string()})).out, HasSubstr("--expect 2"));
    EXPECT_EQ(apply({"--expect", "2"}).code, exit_findings);
    EXPECT_THAT(zone("out", "Natal").out, HasSubstr("out of service as of revision 4"));
    EXPECT_EQ(stored().revision, 4U);
}

// Guards against an outage that is reported as success or as a finding, in each of its forms.
TEST_F(config_commands_test, an_unreachable_store_has_its_own_exit_code) {
    ASSERT_EQ(apply().code, exit_done);
    for (const store_outage outage : {store_outage::refuse, store_outage::silent}) {
        standin_.set_faults({.outage = outage});
        EXPECT_EQ(zone("out", "Natal").code, exit_store_unreachable);
        EXPECT_EQ(run(run_history, with_store({})).code, exit_store_unreachable);
    }
    standin_.set_faults({.delay = milliseconds{1000}});
    EXPECT_EQ(run(run_plan, with_store({directory_.string()})).code, exit_store_unreachable);
    standin_.set_faults({.delay = milliseconds{20}});
    EXPECT_EQ(zone("out", "Natal").code, exit_done);
    standin_.set_faults({.lose_answers = 100});
    write(300, json::array());
    // The first write takes effect; the repeated one loses the race to it and so has an answer.
    EXPECT_EQ(apply({"--expect", "2"}).code, exit_done);
    EXPECT_EQ(stored().revision, 3U);
}

// Guards against a damaged document that is overwritten unseen.
TEST_F(config_commands_test, a_damaged_document_is_reported) {
    store_.compare_and_swap(config_key("sertao"), "{}", 0);
    const auto result = apply();
    EXPECT_EQ(result.code, exit_findings);
    EXPECT_THAT(result.out, HasSubstr("configuration#"));
    EXPECT_EQ(std::get<stored_value>(store_.get(config_key("sertao"))).value, "{}");
}

// Guards against a zone that returns to service because a directory does not mention that it is out, and
// against a zone change that fails because of an unrelated one.
TEST_F(config_commands_test, zone_out_and_in) {
    ASSERT_EQ(apply().code, exit_done);
    EXPECT_EQ(zone("out", "Natall").code, exit_findings);
    ASSERT_EQ(zone("out", "João Pessoa").code, exit_done);
    EXPECT_THAT(zone("out", "João Pessoa").out, HasSubstr("already"));
    write(200, json::array());
    const auto refused = apply();
    EXPECT_EQ(refused.code, exit_findings);
    EXPECT_THAT(refused.out, HasSubstr("- exceptions/zone/João Pessoa/in_service"));
    EXPECT_EQ(stored().revision, 2U);
    ASSERT_EQ(zone("in", "João Pessoa").code, exit_done);
    EXPECT_TRUE(stored().declarations.exceptions.empty());
    EXPECT_EQ(apply().code, exit_done);
    std::vector<std::future<command_result>> all;
    for (const char* name : {"Recife", "Natal", "João Pessoa"})
        all.push_back(std::async(std::launch::async, [this, name] { return zone("out", name); }));
    for (auto& result : all)
        EXPECT_EQ(result.get().code, exit_done);
    EXPECT_EQ(stored().declarations.exceptions.size(), 3U);
}

// Guards against explanations that name the wrong origin, also of an earlier revision.
TEST_F(config_commands_test, explain_history_and_rollback) {
    ASSERT_EQ(apply().code, exit_done);
    write(200, json::array({exception({{"service", "form"}}, "queue_limit", 900)}));
    ASSERT_EQ(apply().code, exit_done);
    const auto now = run(run_explain_config, with_store({"service", "form"})).out;
    EXPECT_THAT(now, HasSubstr("queue_limit = 900  (exception, since revision 2 at "));
    EXPECT_THAT(now, HasSubstr("by joana: audit week"));
    EXPECT_THAT(now, HasSubstr("max_tasks = 200  (default, since revision 2 at "));
    EXPECT_THAT(now, HasSubstr("default_deadline_ms = 60000  (builtin_default)"));
    const auto earlier =
        run(run_explain_config, with_store({"service", "form", "max_tasks", "--revision", "1", "--json"}));
    const json explained = json::parse(earlier.out);
    EXPECT_EQ(explained["settings"].size(), 1U);
    EXPECT_EQ(explained["settings"][0]["value"], 560);
    EXPECT_EQ(explained["settings"][0]["revision"], 1);
    EXPECT_EQ(explained["settings"][0]["author"], "livia");
    EXPECT_EQ(run(run_explain_config, with_store({"service", "form", "--revision", "3"})).code,
              exit_findings);
    EXPECT_EQ(run(run_explain_config, with_store({"team", "claim"})).code, exit_findings);
    const auto rollback = run(run_apply, changing({"--rollback", "1"}));
    EXPECT_THAT(rollback.out, HasSubstr("applied as revision 3"));
    EXPECT_EQ(stored().declarations, document_at(stored(), 1)->declarations);
    const json history = json::parse(run(run_history, with_store({"--json", "--limit", "2"})).out);
    EXPECT_EQ(history["records"].size(), 2U);
    EXPECT_EQ(history["records"][0]["revision"], 3);
    EXPECT_EQ(history["reaches_back_to"], 0);
}

// An entry that reports the given status and counts how often it was asked.
class status_server {
public:
    explicit status_server(std::function<json(int)> status)
        : status_{std::move(status)}
        , http_{restinio::run_async<>(
              restinio::own_io_context(),
              restinio::server_settings_t<>{}
                  .address("127.0.0.1")
                  .port(0)
                  .acceptor_post_bind_hook(
                      [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
                  .request_handler([this](const restinio::request_handle_t& request) {
                      return request->create_response().set_body(status_(++requests_).dump()).done();
                  }),
              1)} {}
    ~status_server() {
        http_->stop();
        http_->wait();
    }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }

private:
    std::function<json(int)> status_;
    int requests_ = 0;
    std::uint16_t port_ = 0;
    restinio::running_server_handle_t<restinio::default_traits_t> http_;
};

json status(int revision, bool in_force, int agent_revision) {
    const json agents = json::array({{{"name", "agent-3"}, {"revision", agent_revision}}});
    return {{"revision", revision}, {"in_force", in_force}, {"agents", agents}};
}

// Guards against a command that reports a change as in force before it is, or waits for ever.
TEST_F(config_commands_test, wait_reports_where_a_revision_is_not_in_force) {
    status_server quick{[](int) {
        return status(5, true, 5);
    }};
    status_server later{[](int request) {
        return status(1, request > 2, 1);
    }};
    status_server behind{[](int) {
        return status(2, false, 1);
    }};
    status_server odd{[](int) {
        return json::array();
    }};
    const auto good = apply({"--wait", "--entry", quick.url() + "," + later.url()});
    EXPECT_EQ(good.code, exit_done) << good.err;
    EXPECT_THAT(good.err, HasSubstr("revision 1 is in force"));
    write(200, json::array());
    const std::string entries = quick.url() + "," + behind.url() + "," + odd.url() + ",http://127.0.0.1:1";
    const auto bad = apply({"--wait", "--entry", entries, "--wait-timeout-ms", "200"});
    EXPECT_EQ(bad.code, exit_findings);
    EXPECT_THAT(bad.out, HasSubstr("applied as revision 2"));
    EXPECT_THAT(bad.err, HasSubstr(behind.url() + ": revision 2, not in force, 1 agents behind: agent-3@1"));
    EXPECT_THAT(bad.err, HasSubstr(odd.url() + ": an answer that is not a status"));
    EXPECT_THAT(bad.err, HasSubstr("not in force everywhere after 200 ms"));
    EXPECT_EQ(apply({"--wait"}).code, exit_usage);
}

// Guards against a stand-in process that ignores SIGTERM or ends before it.
// Without the fixture, whose server thread would receive the signal.
TEST(standin_store_command, runs_until_sigterm) {
    const system_clock_source clock;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::string url;
    std::uint16_t port = 0;
    {
        const store_standin free_port{store_standin_options{}, clock};
        port = free_port.port();
        url = free_port.url();
    }
    auto command = std::async(std::launch::async, [&] {
        return run(run_standin_store, {"--port", std::to_string(port)});
    });
    etcd_store client{settings_for(url), clock, 1};
    while (std::holds_alternative<store_unavailable>(client.get("key"))) {
    }
    kill(getpid(), SIGTERM);
    const auto result = command.get();
    EXPECT_EQ(result.code, exit_done);
    EXPECT_THAT(result.out, HasSubstr(url));
}

} // namespace
} // namespace persimmonstile
