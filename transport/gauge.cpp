#include "transport/gauge.h"

namespace persimmonstile {

void gauge::append_text(std::string& text) const {
    append_header(text, "gauge");
    text += name() + ' ' + std::to_string(value()) + '\n';
}

} // namespace persimmonstile
