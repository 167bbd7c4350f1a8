/** Where settings and metrics are read from. */
package org.gentianslip.burn.source;
