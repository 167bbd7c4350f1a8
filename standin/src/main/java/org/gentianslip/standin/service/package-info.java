/** Stands in for a plain service, some of whose calls may not be repeated. */
package org.gentianslip.standin.service;
