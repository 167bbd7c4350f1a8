package org.gentianslip.demo;

import java.util.List;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.Workload;
import org.gentianslip.load.work.WorkloadShare;

/** Writes commands that call a running fleet. Stateless and safe for use by several threads. */
final class CurlCommands {

  private CurlCommands() {}

  static String text(Fleet fleet, FleetPlan plan, Workload workload) {
    EntryNode entry = fleet.layout().entries().get(0);
    String base = "http://" + entry.callerAddress();
    String operator = "http://" + entry.operatorAddress();
    WorkloadShare model = first(workload, ActionType.CHAT_STREAM);
    WorkloadShare write = first(workload, ActionType.SERVICE_WRITE);
    return String.join(
        "\n",
        List.of(
            "The fleet serves until this process is interrupted. Commands to call it:",
            "curl '%s/v1/entries?customer=%s&kind=%s'"
                .formatted(base, model.customer(), model.kind()),
            "curl -N %s/v1/chat/completions %s \\".formatted(base, headers(model)),
            "  -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,%s}'"
                .formatted(
                    model.target(), "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]"),
            "# The first answer names a ticket in the header X-Ticket; repeat the call with it.",
            "curl -i %s/services/%s %s -d '{\"note\":\"one\"}'"
                .formatted(base, write.target(), headers(write)),
            "curl -i %s/services/%s %s -H 'X-Ticket: TICKET' -d '{\"note\":\"one\"}'"
                .formatted(base, write.target(), headers(write)),
            "curl -H 'X-Operator-Key: %s' %s/status".formatted(Fleet.OPERATOR_KEY, operator),
            "curl %s/metrics".formatted(operator),
            "curl http://%s/v1/values/instances/%s"
                .formatted(fleet.configAddress(), plan.regions().get(0).id())));
  }

  private static String headers(WorkloadShare share) {
    return "-H 'Content-Type: application/json' -H 'Authorization: Bearer %s' -H 'X-Kind: %s'"
        .formatted(share.key(), share.kind());
  }

  private static WorkloadShare first(Workload workload, ActionType action) {
    return workload.only(action).shares().get(0);
  }
}
