#include "protocol/fleet_schema.h"

namespace persimmonstile {

std::string_view fleet_schema() {
    return R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "persimmonstile fleet.json",
  "type": "object",
  "additionalProperties": false,
  "required": ["zones", "services", "teams"],
  "properties": {
    "$schema": {"type": "string"},
    "defaults": {
      "description": "Settings of every service and team that has no exception.",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "service": {"$ref": "#/definitions/service_settings"},
        "team": {"$ref": "#/definitions/team_settings"}
      }
    },
    "zones": {"type": "array", "items": {"$ref": "#/definitions/name"}},
    "services": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "fastest_task_ms": {
            "description": "Shortest run time of a task on the fastest backend server.",
            "type": "integer", "minimum": 1, "maximum": 3600000
          }
        }
      }
    },
    "teams": {"type": "array", "items": {"$ref": "#/definitions/name"}}
  },
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 64},
    "service_settings": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_tasks": {
          "description": "Tasks that one job may have.",
          "type": "integer", "minimum": 1, "maximum": 560
        },
        "default_deadline_ms": {
          "description": "Deadline of a job whose caller names none.",
          "type": "integer", "minimum": 1, "maximum": 3600000
        },
        "queue_limit": {
          "description": "Waiting tasks that one entry holds before it refuses jobs.",
          "type": "integer", "minimum": 1, "maximum": 10000000
        },
        "idempotent_methods": {
          "description": "Methods of single requests that may run more than once.",
          "type": "array", "maxItems": 100, "items": {"type": "string", "minLength": 1, "maxLength": 64}
        }
      }
    },
    "team_settings": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "share": {
          "description": "Relative share of the capacity when teams compete.",
          "type": "integer", "minimum": 1, "maximum": 1000
        },
        "max_running": {
          "description": "Tasks of the team that run at once in the whole cell; 0 means no bound.",
          "type": "integer", "minimum": 0, "maximum": 10000000
        }
      }
    },
    "zone_settings": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "in_service": {"description": "Whether tasks may start in the zone.", "type": "boolean"}
      }
    }
  }
}
)schema";
}

std::string_view exceptions_schema() {
    return R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "persimmonstile exceptions.json",
  "type": "array",
  "items": {
    "type": "object",
    "additionalProperties": false,
    "required": ["scope", "setting", "value", "author", "reason"],
    "properties": {
      "scope": {
        "type": "object",
        "additionalProperties": false,
        "minProperties": 1,
        "maxProperties": 1,
        "properties": {
          "service": {"type": "string", "minLength": 1, "maxLength": 64},
          "team": {"type": "string", "minLength": 1, "maxLength": 64},
          "zone": {"type": "string", "minLength": 1, "maxLength": 64}
        }
      },
      "setting": {"type": "string", "minLength": 1, "maxLength": 64},
      "value": {},
      "author": {"type": "string", "minLength": 1, "maxLength": 200},
      "reason": {"type": "string", "minLength": 1, "maxLength": 1000},
      "expires": {"description": "RFC 3339 in UTC, such as 2027-01-31T00:00:00Z.", "type": "string"}
    }
  }
}
)schema";
}

} // namespace persimmonstile
