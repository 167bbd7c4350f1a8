/** Rules that tell from what an attempt showed whether a request ran and may be sent again. */
package org.gentianslip.core.outcome;
