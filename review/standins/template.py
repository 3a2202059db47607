"""Renders deploy/settings.json.template as DEPLOY.md tells it, with the fields of a small deployment."""

import json
import re

PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")


def boot_fields(name, zone, address, store, first=True, **bounds):
    """The settings of a process as DEPLOY.md shows them; `bounds` replaces single figures."""
    return {
        "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front"],
        "ipAddress": address, "zone": zone, "region": "lower-mainland",
        "internalPortRange": [7340, 7355], "seeds": [], "initialBootstrap": first,
        "countsTowardTolerance": False, "discovery": "platform", "entryPoint": "virtual_ip",
        "heartbeatIntervalMs": 1200,
        "listenAddresses": {"front": f"{address}:8227", "ready": f"{address}:8220"},
        "bounds": {
            "seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 3000, "acknowledgeMs": 4000,
            "catchUpS": 4, "drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200,
            "configApplyMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000,
            "strictRevocation": False, "revocationMs": 5000, "retryBudgetRatio": 0.2,
            "retryWindowS": 10, "retryBudgetExtra": 202, "recoveryS": 12, "eventDelayMs": 120,
            "retryAfterS": 0, "stall_ms": 2000, "fencingRequired": False, **bounds},
        "platform": {"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000},
    }


def render(template, fields):
    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                break
        if match[2]:
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)
    return PLACEHOLDER.sub(value_of, template)
