package org.gentianslip.core.load;

import org.gentianslip.core.published.Backend;

/**
 * Joins a backend server that may get a request and its load. Immutable, but for the load.
 *
 * @param backend the backend server
 * @param load its load
 */
public record BackendOption(Backend backend, BackendLoad load) {}
