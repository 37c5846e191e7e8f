#include "cli/explain_request_command.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace persimmonstile {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr const char* entry_log =
    R"({"time":"2026-12-04T03:15:00.000100Z","process":"e1","level":"info","component":"entry","message":"accepted a job","fields":{"job":"00000000000000aa","queue":"form"}}
{"time":"2026-12-04T03:15:00.000200Z","process":"e1","level":"info","component":"entry","message":"accepted a job","fields":{"job":"00000000000000bb","queue":"form"}}
{"time":"2026-12-04T03:15:00.300000Z","process":"e1","level":"warn","component":"entry","message":"job ended","fields":{"job":"00000000000000aa","state":"failed"}}
)";
constexpr const char* agent_log =
    R"(agent-7 | {"time":"2026-12-04T03:15:00.100000Z","process":"a7","level":"info","component":"agent","message":"run ended","fields":{"job":"00000000000000aa","state":"failed"},"suppressed":12}
)";

class explain_request : public testing::Test {
protected:
    explain_request() {
        std::filesystem::create_directories(folder_);
        write("e1.log", entry_log);
        write("a7.log", agent_log);
    }
    ~explain_request() override { std::filesystem::remove_all(folder_); }

    std::string path(const std::string& name) const { return (folder_ / name).string(); }
    void write(const std::string& name, const std::string& text) { std::ofstream{folder_ / name} << text; }

    int run(const std::vector<std::string>& args) {
        out_.str("");
        err_.str("");
        return run_explain_request(args, {out_, err_});
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("explain_request_" + std::to_string(::getpid()));
    std::ostringstream out_;
    std::ostringstream err_;
};

// Guards against lines of other requests, and against the order of the files instead of that of the events.
TEST_F(explain_request, orders_the_lines_of_all_processes) {
    EXPECT_EQ(run({"00000000000000aa", "--logs", path("e1.log"), path("a7.log")}), exit_done) << err_.str();
    const std::string out = out_.str();
    EXPECT_LT(out.find("accepted a job"), out.find("run ended"));
    EXPECT_LT(out.find("run ended"), out.find("job ended"));
    EXPECT_EQ(out.find("accepted a job"), out.rfind("accepted a job"));
    EXPECT_THAT(out, HasSubstr("a7 left lines out"));
    EXPECT_THAT(out, Not(HasSubstr("e1 left lines out")));
}

// Guards against a request that seems to have no trace because a file is damaged or missing.
TEST_F(explain_request, reports_damage_and_explains_the_rest) {
    write("damaged.log", "{\"time\":\n");
    EXPECT_EQ(run({"00000000000000bb", "--logs", path("e1.log"), path("damaged.log"), path("none.log")}),
              exit_findings);
    EXPECT_THAT(out_.str(), HasSubstr("accepted a job"));
    EXPECT_THAT(err_.str(), HasSubstr("damaged.log:1"));
    EXPECT_THAT(err_.str(), HasSubstr("none.log"));
    EXPECT_EQ(run({"00000000000000cc", "--logs", path("e1.log")}), exit_findings);
    EXPECT_THAT(err_.str(), HasSubstr("no line about request 00000000000000cc"));
    EXPECT_EQ(run({"00000000000000cc"}), exit_usage);
}

TEST_F(explain_request, prints_json) {
    EXPECT_EQ(run({"00000000000000aa", "--json", "--logs", path("e1.log")}), exit_done) << err_.str();
    EXPECT_THAT(out_.str(), HasSubstr("\"decision\": \"job ended\""));
}

} // namespace
} // namespace persimmonstile
