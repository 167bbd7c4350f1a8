/** Computes burn rates over time windows. */
package org.gentianslip.burn.window;
