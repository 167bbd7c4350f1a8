/** Limits on concurrency, retries and the pace of return that hold without coordination. */
package org.gentianslip.core.limit;
