package org.gentianslip.burn.window;

import java.time.Duration;

/**
 * How fast an objective's budget burned over a window.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param window the window's length
 * @param observed how much of the window was observed
 * @param total the number of requests
 * @param bad the number of requests that ended badly
 * @param rate the bad share over the allowed one; 1 spends the budget exactly
 */
public record WindowBurn(
    Duration window, Duration observed, double total, double bad, double rate) {}
