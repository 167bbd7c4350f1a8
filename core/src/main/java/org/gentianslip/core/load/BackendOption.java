package org.gentianslip.core.load;

import java.util.Optional;
import org.gentianslip.core.published.Backend;

/**
 * Joins a backend server that may get a request and its load. Immutable, but for the load.
 *
 * @param backend the backend server
 * @param load its load
 * @param fetch from where it may copy the shared part of the prompt, if from anywhere
 */
public record BackendOption(Backend backend, BackendLoad load, Optional<PromptFetch> fetch) {}
