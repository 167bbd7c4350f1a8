/**
 * Limits on concurrency, retries and the ramp-up after a recovery that hold without coordination
 * between instances.
 */
package org.gentianslip.core.limit;
