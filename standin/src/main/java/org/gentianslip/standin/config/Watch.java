package org.gentianslip.standin.config;

import org.gentianslip.standin.http.HttpExchange;

/**
 * A request that waits for a change of a key. Immutable.
 *
 * @param exchange the waiting request
 * @param key the key
 * @param after the revision that the new value must exceed
 */
record Watch(HttpExchange exchange, String key, long after) {}
