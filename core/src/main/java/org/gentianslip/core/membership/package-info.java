/** Beliefs about instances, regions and leaving backend servers, and what callers are told. */
package org.gentianslip.core.membership;
