package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingRequest;

/** Estimates the work that a request causes at an engine. Stateless and thread-safe. */
public final class RequestWork {

  /** The number of prompt tokens that cost as much as one token of the answer. */
  private static final double PROMPT_TOKENS_PER_ANSWER_TOKEN = 64;

  private RequestWork() {}

  /** Returns the estimated work of a request, in answer tokens; at least 1. */
  public static double of(RoutingRequest request) {
    return 1 + request.maxTokens() + request.promptTokens() / PROMPT_TOKENS_PER_ANSWER_TOKEN;
  }
}
