/** Burn rates over windows of time. */
package org.gentianslip.burn.window;
