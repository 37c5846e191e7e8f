#pragma once

#include "state/agent_departure.h"
#include "state/agent_status.h"
#include "state/config_push.h"
#include "state/content_request.h"
#include "state/entry_hello.h"
#include "state/grant_reply.h"
#include "state/grant_request.h"
#include "state/recovery_reply.h"
#include "state/recovery_request.h"
#include "state/table_ack.h"
#include "state/table_push.h"
#include "state/view_ping.h"
#include "state/view_pong.h"

#include <variant>

namespace persimmonstile {

// Any message of the control plane, which carries membership, grants, the owner table and the configuration.
using control_message = std::variant<agent_status, entry_hello, grant_request, grant_reply, table_push,
                                     table_ack, content_request, config_push, view_ping, view_pong,
                                     recovery_request, recovery_reply, agent_departure>;

} // namespace persimmonstile
