package org.gentianslip.standin.config;

import org.gentianslip.standin.http.HttpCall;

/**
 * A call that waits for a change of a key. Immutable.
 *
 * @param call the waiting call
 * @param key the key
 * @param after the revision that the change must exceed
 */
record Watch(HttpCall call, String key, long after) {}
