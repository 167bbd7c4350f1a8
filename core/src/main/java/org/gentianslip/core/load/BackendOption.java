package org.gentianslip.core.load;

import java.util.Optional;
import org.gentianslip.core.published.Backend;

/**
 * A backend server that may serve a request, and its load. Immutable except for the load.
 *
 * @param backend the backend server
 * @param load its load
 * @param fetch the engine from which it may copy the shared part of the prompt, if any
 */
public record BackendOption(Backend backend, BackendLoad load, Optional<PromptFetch> fetch) {}
