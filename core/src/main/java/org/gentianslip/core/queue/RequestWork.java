package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingRequest;

/** Estimates the work of requests. Stateless and safe for use by several threads. */
public final class RequestWork {

  /** The prompt tokens that cost as much as one token of the answer. */
  private static final double PROMPT_TOKENS_PER_ANSWER_TOKEN = 64;

  private RequestWork() {}

  /** Returns the work of a request, in tokens of an answer; at least 1. */
  public static double of(RoutingRequest request) {
    return 1 + request.maxTokens() + request.promptTokens() / PROMPT_TOKENS_PER_ANSWER_TOKEN;
  }
}
