/** The settings tree: parsing, validation with findings, inheritance and effective values. */
package org.gentianslip.settings;
