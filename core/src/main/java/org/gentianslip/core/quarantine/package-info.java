/** Keeps parts of prompts that crash engines away from the engines. */
package org.gentianslip.core.quarantine;
