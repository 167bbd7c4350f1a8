/** Value types for the ids that all parts of the gateway use. */
package org.gentianslip.core.id;
