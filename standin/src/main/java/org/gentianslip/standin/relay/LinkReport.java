package org.gentianslip.standin.relay;

/**
 * The state and counters of a link. Immutable.
 *
 * @param link the name of the link
 * @param state {@code OPEN}, {@code CUT} or {@code SILENT}
 * @param connections the number of open connections
 * @param forwardBytes the bytes delivered from the first end to the second
 * @param backwardBytes the bytes delivered from the second end to the first
 * @param droppedBytes the discarded bytes
 */
public record LinkReport(
    String link,
    String state,
    int connections,
    long forwardBytes,
    long backwardBytes,
    long droppedBytes) {}
