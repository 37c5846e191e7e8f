#include "protocol/bounded_json.h"

#include <string>

namespace persimmonstile {

namespace {

using nlohmann::json;

// The configuration and its history nest about eight levels.
constexpr int max_depth = 32;

// Stops the parser at the first value beyond a limit. A parse callback would be called as well, but the
// library then searches the whole enclosing array at the end of each of its elements.
class limit_checker : public nlohmann::json_sax<json> {
public:
    explicit limit_checker(std::size_t max_values)
        : values_left_{max_values} {}

    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(json::number_integer_t) override { return count(); }
    bool number_unsigned(json::number_unsigned_t) override { return count(); }
    bool number_float(json::number_float_t, const std::string&) override { return count(); }
    bool string(std::string&) override { return count(); }
    bool binary(json::binary_t&) override { return count(); }
    bool key(std::string&) override { return true; }
    bool start_object(std::size_t) override { return open(); }
    bool start_array(std::size_t) override { return open(); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

private:
    bool count() { return values_left_-- > 0; }
    bool open() { return ++depth_ <= max_depth && count(); }
    bool close() {
        --depth_;
        return true;
    }

    std::size_t values_left_;
    int depth_ = 0;
};

} // namespace

std::optional<json> parse_bounded_json(std::string_view text, std::size_t max_values) {
    limit_checker checker{max_values};
    if (!json::sax_parse(text, &checker))
        return std::nullopt;
    json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    return document;
}

} // namespace persimmonstile
