package org.gentianslip.settings;

import org.gentianslip.core.id.CustomerId;

/**
 * A customer of the gateway.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the customer
 * @param firm the name of the firm-level branch that the customer belongs to
 * @param keySha256 the SHA-256 of the API key that its callers present, in lower-case hexadecimal
 */
public record Customer(CustomerId id, String firm, String keySha256) {}
