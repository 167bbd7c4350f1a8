/** Decides which requests an instance refuses because its own processor is overloaded. */
package org.gentianslip.core.overload;
