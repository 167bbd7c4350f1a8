package org.gentianslip.demo;

import java.util.List;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.Workload;
import org.gentianslip.load.work.WorkloadShare;

/** Formats curl commands that call a running fleet. Stateless and thread-safe. */
final class CurlCommands {

  private CurlCommands() {}

  static String format(Fleet fleet, FleetPlan plan, Workload workload) {
    EntryNode entry = fleet.layout().entries().get(0);
    String callerUrl = "http://" + entry.callerAddress();
    String operatorUrl = "http://" + entry.operatorAddress();
    WorkloadShare modelShare = firstShare(workload, ActionType.CHAT_STREAM);
    WorkloadShare writeShare = firstShare(workload, ActionType.SERVICE_WRITE);
    return String.join(
        "\n",
        List.of(
            "The fleet serves until this process is interrupted. Commands to call it:",
            "curl '%s/v1/entries?customer=%s&kind=%s'"
                .formatted(callerUrl, modelShare.customer(), modelShare.kind()),
            "curl -N %s/v1/chat/completions %s \\".formatted(callerUrl, headers(modelShare)),
            "  -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,%s}'"
                .formatted(
                    modelShare.target(),
                    "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]"),
            "# The first answer names a ticket in the header X-Ticket; repeat the call with it.",
            "curl -i %s/services/%s %s -d '{\"note\":\"one\"}'"
                .formatted(callerUrl, writeShare.target(), headers(writeShare)),
            "curl -i %s/services/%s %s -H 'X-Ticket: TICKET' -d '{\"note\":\"one\"}'"
                .formatted(callerUrl, writeShare.target(), headers(writeShare)),
            "curl -H 'X-Operator-Key: %s' %s/status".formatted(Fleet.OPERATOR_KEY, operatorUrl),
            "curl %s/metrics".formatted(operatorUrl),
            "curl http://%s/v1/values/instances/%s"
                .formatted(fleet.configAddress(), plan.regions().get(0).id())));
  }

  private static String headers(WorkloadShare share) {
    return "-H 'Content-Type: application/json' -H 'Authorization: Bearer %s' -H 'X-Kind: %s'"
        .formatted(share.key(), share.kind());
  }

  private static WorkloadShare firstShare(Workload workload, ActionType action) {
    return workload.only(action).shares().get(0);
  }
}
