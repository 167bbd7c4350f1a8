package org.gentianslip.core.quota;

import org.gentianslip.core.id.InstanceId;

/**
 * A process that reports usage. Immutable and thread-safe.
 *
 * <p>The work of an earlier process of the same instance still counts after its restart.
 *
 * @param instance the instance
 * @param incarnation the incarnation of its process
 */
public record UsageSource(InstanceId instance, long incarnation) {}
