#include "protocol/settings_reader.h"
#include "transport/metrics.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using ::testing::HasSubstr;

// The source tree: above this file if the compiler recorded its full path, otherwise above the build folder
// that tests run in.
std::filesystem::path source_folder() {
    std::filesystem::path folder = std::filesystem::absolute(__FILE__).parent_path();
    if (!std::filesystem::exists(folder)) {
        folder = std::filesystem::current_path();
    }
    while (!std::filesystem::exists(folder / "docs" / "OPERATIONS.md") && folder != folder.root_path()) {
        folder = folder.parent_path();
    }
    return folder;
}

std::string operations_page() {
    std::ostringstream text;
    text << std::ifstream{source_folder() / "docs" / "OPERATIONS.md"}.rdbuf();
    return text.str();
}

// Guards against a setting that operators cannot find out about.
TEST(documentation, lists_every_setting) {
    const std::string page = operations_page();
    for (const setting_description& setting : describe_settings()) {
        EXPECT_THAT(page, HasSubstr("| `" + setting.member + "` |"));
    }
}

// Guards against a metric that is renamed or added without a word on what it means.
TEST(documentation, lists_every_metric) {
    const std::string page = operations_page();
    std::istringstream text{daemon_metrics{}.prometheus_text()};
    const std::string type_line = "# TYPE ";
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with(type_line)) {
            const std::string name = line.substr(type_line.size(), line.rfind(' ') - type_line.size());
            EXPECT_THAT(page, HasSubstr("`" + name));
        }
    }
}

// Guards against example settings that a daemon refuses after a change of the rules.
TEST(documentation, example_settings_have_no_findings) {
    std::size_t checked = 0;
    for (const auto& file : std::filesystem::recursive_directory_iterator{source_folder() / "examples"}) {
        const std::string folder = file.path().parent_path().filename();
        if (folder != "entries" && folder != "agents") {
            continue;
        }
        ++checked;
        const auto result = read_settings(file.path());
        if (const auto* problems = std::get_if<findings>(&result)) {
            for (const finding& problem : *problems) {
                ADD_FAILURE() << to_text(problem);
            }
        }
    }
    EXPECT_GT(checked, 0U);
}

} // namespace
} // namespace persimmonstile
