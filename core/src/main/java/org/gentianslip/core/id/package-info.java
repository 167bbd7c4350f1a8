/** Value types for the ids that every part of the gateway shares. */
package org.gentianslip.core.id;
