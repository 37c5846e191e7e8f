#include "protocol/config_finding.h"

namespace persimmonstile {

std::string describe(const config_finding& finding) {
    return finding.file + "#" + finding.pointer + ": " + std::string{to_string(finding.kind)} +
           ": expected " + finding.expected + ", found " + finding.found;
}

} // namespace persimmonstile
