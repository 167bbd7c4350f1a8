/** Starts the two example fleets on loopback. */
package org.gentianslip.demo;
