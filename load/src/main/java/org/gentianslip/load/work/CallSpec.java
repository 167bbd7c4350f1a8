package org.gentianslip.load.work;

import org.gentianslip.core.id.RequestId;

/**
 * One call to be made.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the request's id, unique within a run
 * @param share the part of the mix that the call belongs to
 * @param prompt the model's prompt, or the reference that names a service call
 */
public record CallSpec(RequestId id, WorkShare share, String prompt) {}
