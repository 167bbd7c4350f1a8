/** The operator port: health, metrics, status, settings in force, decisions and drain. */
package org.gentianslip.entry.operator;
