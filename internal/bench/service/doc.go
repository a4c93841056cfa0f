// Package service is a small fake of a plain service.
package service
