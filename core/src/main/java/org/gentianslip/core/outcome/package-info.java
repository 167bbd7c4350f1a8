/**
 * Rules that determine from the facts of an attempt whether a request ran and whether it may be
 * sent again.
 */
package org.gentianslip.core.outcome;
