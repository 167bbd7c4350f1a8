package org.gentianslip.burn.window;

import java.time.Duration;

/**
 * How fast the error budget of an objective burned over a window.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window the length of the window
 * @param observed the time between the snapshots that the figures are computed from
 * @param total the number of requests
 * @param bad the number of bad requests
 * @param rate the share of bad requests divided by the error budget; a rate of 1 spends the budget
 *     exactly
 */
public record WindowBurn(
    Duration window, Duration observed, double total, double bad, double rate) {}
