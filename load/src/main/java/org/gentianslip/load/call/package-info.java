/**
 * The client side of a call: finding entry instances, sending a call and classifying its result.
 */
package org.gentianslip.load.call;
